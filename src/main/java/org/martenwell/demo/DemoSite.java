package org.martenwell.demo;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.apache.commons.codec.digest.DigestUtils;
import org.martenwell.configuration.Contract;
import org.martenwell.configuration.FleetConfiguration;
import org.martenwell.configuration.Model;
import org.martenwell.configuration.Organisation;
import org.martenwell.configuration.Policy;
import org.martenwell.configuration.PoolKind;
import org.martenwell.configuration.Repeatability;
import org.martenwell.configuration.Service;
import org.martenwell.configuration.Target;
import org.martenwell.standin.OrganisationLoad;
import org.martenwell.standin.TargetSettings;

/**
 * The configuration of the demonstration site: targets, organisations, policy and load.
 *
 * @param tokensPerSecond The tokens per second of each slot of an engine.
 * @param medianTokens The median length of responses, in tokens.
 * @param policy The policy of all contracts, a CEL expression.
 */
public record DemoSite(double tokensPerSecond, int medianTokens, String policy) {

    /** The model that all organisations use. */
    public static final String MODEL = "cold-chain-7b";

    /** The plain service whose requests may run more than once, depending on their method. */
    public static final String SERVICE = "alarms";

    /** The plain service whose requests must not run more than once. */
    public static final String LOCK = "batch-lock";

    /** The number of model replicas. */
    static final int REPLICAS = 8;

    /** The number of replicas of the plain services. */
    static final int APPLICATIONS = 3;

    /** The slots of each model replica. */
    static final int SLOTS = 8;

    /** The failure domains. */
    static final List<String> DOMAINS = List.of("lahore-a", "lahore-b", "lahore-c");

    private static final int APPLICATION_SLOTS = 32;

    /** The backlogged organisations, which keep a constant number of requests open. */
    private static final List<String> LARGE_ORGANISATIONS =
            List.of("district-east", "district-west", "vaccine-store");

    /** The number of organisations with little load. */
    private static final int SMALL_COUNT = 7;

    /** The concurrent requests of each large organisation. */
    private static final int LARGE_CONCURRENCY = 48;

    /** The requests per second of each small organisation. */
    private static final double SMALL_PER_SECOND = 0.5;

    /** The maximum length of a response. */
    private static final int MAX_TOKENS = 400;

    /** {@return the default site} */
    public static DemoSite coldChain() {
        return new DemoSite(36, 40, "service == '" + SERVICE + "' ? allow(7) : allow(5)");
    }

    /**
     * Returns a copy with another speed of its engines.
     *
     * @param tokens The tokens per second of each slot.
     * @return The copy.
     */
    public DemoSite withTokensPerSecond(double tokens) {
        return new DemoSite(tokens, medianTokens, policy);
    }

    /**
     * Returns a copy with another length of responses.
     *
     * @param tokens The median length of responses, in tokens.
     * @return The copy.
     */
    public DemoSite withMedianTokens(int tokens) {
        return new DemoSite(tokensPerSecond, tokens, policy);
    }

    /**
     * Returns a copy with another policy.
     *
     * @param program The CEL expression.
     * @return The copy.
     */
    public DemoSite withPolicy(String program) {
        return new DemoSite(tokensPerSecond, medianTokens, program);
    }

    /**
     * Returns the settings of the target stand-ins, model replicas first.
     *
     * @param addresses The listen addresses, one for each target.
     * @return The settings, in the order of the addresses.
     */
    List<TargetSettings> targets(List<String> addresses) {
        List<TargetSettings> settings = new ArrayList<>();
        for (int index = 0; index < addresses.size(); index++) {
            boolean model = index < REPLICAS;
            settings.add(
                    new TargetSettings(
                            (model ? "engine-" : "application-") + index,
                            addresses.get(index),
                            model ? PoolKind.MODEL : PoolKind.SERVICE,
                            model ? List.of(MODEL) : List.of(SERVICE, LOCK),
                            model ? SLOTS : APPLICATION_SLOTS,
                            tokensPerSecond,
                            medianTokens,
                            MAX_TOKENS,
                            20,
                            index,
                            model));
        }
        return settings;
    }

    /**
     * Builds the configuration that routers read from the platform.
     *
     * @param targets The settings of the target stand-ins.
     * @return The configuration.
     */
    public FleetConfiguration configuration(List<TargetSettings> targets) {
        return new FleetConfiguration(
                List.of(new Model(MODEL, 1)),
                List.of(
                        new Service(SERVICE, Repeatability.BY_METHOD, 5_000, 36),
                        new Service(LOCK, Repeatability.NEVER, 5_000, 36)),
                List.of(new Contract("standard", "everyone", 1, 1_000, 1_000, 1_000, 200, 30_000)),
                List.of(new Policy("everyone", policy)),
                organisations(),
                targets.stream().map(DemoSite::target).toList(),
                List.of());
    }

    /**
     * Returns the API key of an organisation.
     *
     * @param organisation The name of the organisation.
     * @return The key.
     */
    public static String key(String organisation) {
        return "demo-key-" + organisation;
    }

    /**
     * Returns the load of the demonstration. Each large organisation uses a subset of the routers,
     * so that no router sees all of them.
     *
     * @param routers The addresses of the routers.
     * @return The load of each organisation.
     */
    static List<OrganisationLoad> load(List<String> routers) {
        List<OrganisationLoad> loads = new ArrayList<>();
        for (int index = 0; index < LARGE_ORGANISATIONS.size(); index++) {
            int first = index * routers.size() / LARGE_ORGANISATIONS.size();
            int count = index == 0 ? 1 : Math.max(1, routers.size() / LARGE_ORGANISATIONS.size());
            List<String> used = routers.subList(first, Math.min(routers.size(), first + count));
            loads.add(load(LARGE_ORGANISATIONS.get(index), used, LARGE_CONCURRENCY, 0));
        }
        for (int index = 0; index < SMALL_COUNT; index++) {
            loads.add(load("clinic-" + index, routers, 0, SMALL_PER_SECOND));
        }
        return loads;
    }

    /** {@return the names of the backlogged organisations} */
    static List<String> backlogged() {
        return LARGE_ORGANISATIONS;
    }

    private static OrganisationLoad load(
            String organisation, List<String> routers, int concurrency, double perSecond) {
        return new OrganisationLoad(
                organisation,
                key(organisation),
                routers,
                concurrency,
                perSecond,
                MODEL,
                Optional.of(SERVICE),
                200);
    }

    private static List<Organisation> organisations() {
        List<String> names = new ArrayList<>(LARGE_ORGANISATIONS);
        for (int index = 0; index < SMALL_COUNT; index++) {
            names.add("clinic-" + index);
        }
        return names.stream()
                .map(
                        name ->
                                new Organisation(
                                        name,
                                        "standard",
                                        Map.of(),
                                        List.of(DigestUtils.sha256Hex(key(name)))))
                .toList();
    }

    private static Target target(TargetSettings settings) {
        int domain = Math.floorMod(settings.name().hashCode(), DOMAINS.size());
        return new Target(
                settings.name(),
                settings.address(),
                DOMAINS.get(domain),
                settings.kind(),
                settings.serves(),
                settings.slots(),
                settings.checksFences());
    }
}
