/** What the HTTP sides of the program share: headers, calls and answers. */
package org.martenwell.http;
