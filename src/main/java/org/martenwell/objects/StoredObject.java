package org.martenwell.objects;

/** One version of an object of the platform's service. */
public final class StoredObject {

    /** The object's kind. */
    private final String kind;

    /** The object's name within its kind. */
    private final String name;

    /** The version, which grows with every write to the service. */
    private final long version;

    /** The value. */
    private final byte[] value;

    /**
     * Creates a version of an object.
     *
     * @param kind The object's kind.
     * @param name The object's name within its kind.
     * @param version The version, which grows with every write to the service.
     * @param value The value, not copied.
     */
    public StoredObject(String kind, String name, long version, byte[] value) {
        this.kind = kind;
        this.name = name;
        this.version = version;
        this.value = value;
    }

    /**
     * Returns the object's kind.
     *
     * @return The kind.
     */
    public String kind() {
        return kind;
    }

    /**
     * Returns the object's name within its kind.
     *
     * @return The name.
     */
    public String name() {
        return name;
    }

    /**
     * Returns the version.
     *
     * @return The version.
     */
    public long version() {
        return version;
    }

    /**
     * Returns the value.
     *
     * @return The value, not copied.
     */
    public byte[] value() {
        return value;
    }
}
