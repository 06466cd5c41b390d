/** What all messages between routers have in common. */
package org.martenwell.message;
