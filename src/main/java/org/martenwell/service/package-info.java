/** Event loops, service lifecycle and addresses. */
package org.martenwell.service;
