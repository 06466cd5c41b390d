/** Rendezvous hashing, by which all processes agree on assignments, and keyed hash functions. */
package org.martenwell.hash;
