package org.martenwell.router;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.martenwell.observe.LogEvent;
import org.martenwell.schedule.GrantDecision;
import org.martenwell.schedule.GrantListener;

/** Logs each granted slot at level {@code DEBUG}. */
enum GrantLog implements GrantListener {

    /** The only instance. */
    INSTANCE;

    private static final Logger LOGGER = LogManager.getLogger(GrantLog.class);

    @Override
    public void granted(GrantDecision decision) {
        if (LOGGER.isDebugEnabled()) {
            LOGGER.debug(
                    LogEvent.of("grant")
                            .with("target", decision.target())
                            .with("organisation", decision.organisation())
                            .with("router", decision.router())
                            .with("rank", decision.rank())
                            .with("contenders", decision.contenders())
                            .message());
        }
    }
}
