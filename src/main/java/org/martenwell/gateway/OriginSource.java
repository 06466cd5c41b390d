package org.martenwell.gateway;

import java.util.Locale;

/** How a gateway learned at which version a stream began. */
enum OriginSource {

    /** It forwarded the first event itself, or continued the stream before. */
    OWN,

    /** A peer reported it. */
    PEER,

    /** The directory listed no other version while the stream may have begun. */
    ONLY_VERSION;

    /** {@return the name in logs and metrics} */
    String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
