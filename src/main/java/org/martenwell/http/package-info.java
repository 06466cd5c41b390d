/** HTTP client, responses and header fields. */
package org.martenwell.http;
