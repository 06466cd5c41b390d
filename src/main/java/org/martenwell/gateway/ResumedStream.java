package org.martenwell.gateway;

import org.martenwell.version.ServiceVersion;

/**
 * A stream that a request resumes.
 *
 * @param version The version that began it.
 * @param source How this gateway learned that.
 */
record ResumedStream(ServiceVersion version, OriginSource source) {}
