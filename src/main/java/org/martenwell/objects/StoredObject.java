package org.martenwell.objects;

/** One version of an object in the platform's object service. */
public final class StoredObject {

    private final String kind;

    private final String name;

    private final long version;

    private final byte[] value;

    /**
     * Creates a version of an object.
     *
     * @param kind The object's kind.
     * @param name The object's name, unique within its kind.
     * @param version The version, which increases with every write to any object of the service.
     * @param value The value, not copied.
     */
    public StoredObject(String kind, String name, long version, byte[] value) {
        this.kind = kind;
        this.name = name;
        this.version = version;
        this.value = value;
    }

    /** {@return the object's kind} */
    public String kind() {
        return kind;
    }

    /** {@return the object's name, unique within its kind} */
    public String name() {
        return name;
    }

    /** {@return the version, which increases with every write to any object of the service} */
    public long version() {
        return version;
    }

    /** {@return the value, not copied} */
    public byte[] value() {
        return value;
    }
}
