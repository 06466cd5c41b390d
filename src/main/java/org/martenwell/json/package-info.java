/** JSON parsing, serialization and schema validation. */
package org.martenwell.json;
