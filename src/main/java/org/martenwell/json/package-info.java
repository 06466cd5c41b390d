/**
 * Reading and checking JSON documents, comments allowed, and listing all their problems at once.
 */
package org.martenwell.json;
