/** Client of the platform's object service and box list. */
package org.martenwell.objects;
