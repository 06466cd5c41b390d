package org.martenwell.gateway;

import java.util.Optional;

/** A choice by which this gateway handles all requests itself. */
enum NoOffloadTargets implements OffloadTargets {

    /** The singleton. */
    INSTANCE;

    @Override
    public Optional<String> choose(double workMillis, long now) {
        return Optional.empty();
    }

    @Override
    public void rejected(String peer, long now) {}

    @Override
    public void failed(String peer, long now) {}
}
