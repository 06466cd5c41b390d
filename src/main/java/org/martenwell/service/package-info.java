/** Small things that every long-running part needs: start and stop, addresses and time. */
package org.martenwell.service;
