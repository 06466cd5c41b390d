package org.martenwell.gateway;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import java.util.List;
import org.martenwell.exchange.Body;
import org.martenwell.exchange.TargetRequestHead;
import org.martenwell.prompt.CachedPart;
import org.martenwell.prompt.CachedPartChanges;

/** How callers and targets of a deployment put things in headers. It decides nothing. */
public interface RequestDialect {

    /**
     * Reads what a caller states.
     *
     * @param headers The request's headers.
     * @return What it states.
     */
    RequestFacts read(HttpHeaders headers);

    /**
     * Writes the headers of a request to a target.
     *
     * @param headers The caller's headers.
     * @param facts What the gateway tells.
     * @return The headers, without those of the caller's connection.
     */
    HttpHeaders forTarget(HttpHeaders headers, SendFacts facts);

    /**
     * Writes the headers of an answer to a caller.
     *
     * @param headers The target's headers.
     * @return The headers, without those of the target's connection.
     */
    HttpHeaders forCaller(HttpHeaders headers);

    /**
     * Writes the headers of an answer of the gateway's own.
     *
     * @param facts What the caller stated.
     * @return The headers.
     */
    HttpHeaders ownAnswer(RequestFacts facts);

    /**
     * Tells whether an answer belongs to a request.
     *
     * @param answer The answer's head.
     * @param facts What the caller of the request stated.
     * @return {@code true} if it does.
     */
    boolean belongs(HttpResponse answer, RequestFacts facts);

    /**
     * Tells whether an answer says that the request did not run.
     *
     * @param answer The answer's head.
     * @return {@code true} if it says so.
     */
    boolean notRun(HttpResponse answer);

    /**
     * Reads what an answer says of the target that made it.
     *
     * @param answer The answer's head.
     * @param dayMillis The time of day in milliseconds since 1970.
     * @return What it says.
     */
    AnswerNotice notice(HttpResponse answer, long dayMillis);

    /**
     * Returns the path at which a target lists the parts of prompts that it keeps.
     *
     * @return The path.
     */
    String keptPartsPath();

    /**
     * Reads the parts of prompts that a target keeps.
     *
     * @param body The target's answer.
     * @return The parts.
     */
    List<CachedPart> keptParts(Body body);

    /**
     * Makes the request by which a target tells how what it keeps has changed.
     *
     * @param host The target's address as text.
     * @param since Where to go on, 0 to begin.
     * @param waitMillis How long the target may wait for a change, in milliseconds.
     * @return The request.
     */
    TargetRequestHead keptChangesRequest(String host, long since, long waitMillis);

    /**
     * Reads how what a target keeps has changed.
     *
     * @param body The target's answer.
     * @return The changes.
     */
    CachedPartChanges keptChanges(Body body);

    /**
     * Tells whether an answer was made by a target, rather than spoilt on its way.
     *
     * @param answer The answer's head.
     * @return {@code true} if it bears a target's mark.
     */
    boolean genuine(HttpResponse answer);
}
