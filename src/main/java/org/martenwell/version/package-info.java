/**
 * Versions of the targets' software: which ones were listed of late, and at which one each stream
 * began.
 */
package org.martenwell.version;
