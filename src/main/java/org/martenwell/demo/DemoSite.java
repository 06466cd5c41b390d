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
 * The cold-chain site: its targets, organisations and load.
 *
 * @param tokensPerSecond How many tokens a second each slot of an engine delivers.
 * @param medianTokens The median length of an answer, in tokens.
 * @param policy The program of the only policy.
 */
public record DemoSite(double tokensPerSecond, int medianTokens, String policy) {

    /** The model that all ask. */
    public static final String MODEL = "cold-chain-7b";

    /** The plain service. */
    public static final String SERVICE = "alarms";

    /** The plain service whose requests must not run twice. */
    public static final String LOCK = "batch-lock";

    /** How many model replicas there are. */
    static final int REPLICAS = 8;

    /** How many replicas of the plain service there are. */
    static final int APPLICATIONS = 3;

    /** How many slots a model replica has. */
    static final int SLOTS = 8;

    /** The failure domains. */
    static final List<String> DOMAINS = List.of("lahore-a", "lahore-b", "lahore-c");

    /** How many slots a replica of the plain service has. */
    private static final int APPLICATION_SLOTS = 32;

    /** The organisations that always have work waiting. */
    private static final List<String> LARGE =
            List.of("district-east", "district-west", "vaccine-store");

    /** How many small organisations there are. */
    private static final int SMALL = 7;

    /** How many requests a large organisation keeps open. */
    private static final int LARGE_CONCURRENCY = 48;

    /** How many requests a small organisation sends a second. */
    private static final double SMALL_PER_SECOND = 0.5;

    /** The longest answer, in tokens. */
    private static final int MAX_TOKENS = 400;

    /** {@return the site as it is today} */
    public static DemoSite coldChain() {
        return new DemoSite(36, 40, "service == '" + SERVICE + "' ? allow(7) : allow(5)");
    }

    /**
     * Returns a copy with engines of another speed.
     *
     * @param tokens How many tokens a second each slot delivers.
     * @return The copy.
     */
    public DemoSite withTokensPerSecond(double tokens) {
        return new DemoSite(tokens, medianTokens, policy);
    }

    /**
     * Returns a copy with answers of another length.
     *
     * @param tokens The median length, in tokens.
     * @return The copy.
     */
    public DemoSite withMedianTokens(int tokens) {
        return new DemoSite(tokensPerSecond, tokens, policy);
    }

    /**
     * Returns a copy with another policy.
     *
     * @param program The program in CEL.
     * @return The copy.
     */
    public DemoSite withPolicy(String program) {
        return new DemoSite(tokensPerSecond, medianTokens, program);
    }

    /**
     * Returns the settings of the stand-in targets.
     *
     * @param addresses Their addresses.
     * @return The settings.
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
     * Returns the configuration of the fleet.
     *
     * @param targets The settings of the stand-in targets.
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
     * Returns a caller's key of an organisation.
     *
     * @param organisation The organisation.
     * @return The key.
     */
    public static String key(String organisation) {
        return "demo-key-" + organisation;
    }

    /**
     * Returns the load. The large organisations each use few routers, so that none sees all of
     * them.
     *
     * @param routers The routers' addresses.
     * @return The load of each organisation.
     */
    static List<OrganisationLoad> load(List<String> routers) {
        List<OrganisationLoad> loads = new ArrayList<>();
        for (int index = 0; index < LARGE.size(); index++) {
            int first = index * routers.size() / LARGE.size();
            int count = index == 0 ? 1 : Math.max(1, routers.size() / LARGE.size());
            List<String> used = routers.subList(first, Math.min(routers.size(), first + count));
            loads.add(load(LARGE.get(index), used, LARGE_CONCURRENCY, 0));
        }
        for (int index = 0; index < SMALL; index++) {
            loads.add(load("clinic-" + index, routers, 0, SMALL_PER_SECOND));
        }
        return loads;
    }

    /** {@return the names of the organisations that always have work waiting} */
    static List<String> backlogged() {
        return LARGE;
    }

    /** Builds the load of one organisation. */
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

    /** Builds the organisations. */
    private static List<Organisation> organisations() {
        List<String> names = new ArrayList<>(LARGE);
        for (int index = 0; index < SMALL; index++) {
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

    /** Builds the configuration of a target. */
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
