package org.martenwell.configuration;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.martenwell.policy.PolicyCompiler;
import org.martenwell.policy.PolicyProgram;

/** A configuration in force, with its version, its indexes and its compiled policies. */
public final class ActiveConfiguration {

    /** The version of the object that holds the configuration. */
    private final long version;

    /** The configuration itself. */
    private final FleetConfiguration configuration;

    /** The models by name. */
    private final Map<String, Model> models;

    /** The plain services by name. */
    private final Map<String, Service> services;

    /** The contracts by name. */
    private final Map<String, Contract> contracts;

    /** The organisations by name. */
    private final Map<String, Organisation> organisations;

    /** The targets by name. */
    private final Map<String, Target> targets;

    /** The targets of each pool. */
    private final Map<Pool, List<Target>> pools;

    /** The compiled policies by name. */
    private final Map<String, PolicyProgram> policies;

    /** The organisations by the hash of a caller's key. */
    private final KeyTable keys;

    /**
     * Creates an active configuration.
     *
     * @param version The version of the object that holds the configuration.
     * @param configuration A checked configuration.
     */
    private ActiveConfiguration(long version, FleetConfiguration configuration) {
        this.version = version;
        this.configuration = configuration;
        models = index(configuration.models(), Model::name);
        services = index(configuration.services(), Service::name);
        contracts = index(configuration.contracts(), Contract::name);
        organisations = index(configuration.organisations(), Organisation::name);
        targets = index(configuration.targets(), Target::name);
        pools =
                configuration.targets().stream()
                        .flatMap(target -> target.pools().stream())
                        .distinct()
                        .collect(
                                Collectors.toMap(
                                        Function.identity(),
                                        pool ->
                                                configuration.targets().stream()
                                                        .filter(target -> target.serves(pool))
                                                        .toList()));
        policies = new LinkedHashMap<>();
        for (Policy policy : configuration.policies()) {
            policies.put(policy.name(), PolicyCompiler.INSTANCE.compile(policy.program()));
        }
        keys = KeyTable.of(configuration.organisations());
    }

    /**
     * Creates an active configuration.
     *
     * @param version The version of the object that holds the configuration.
     * @param configuration A checked configuration.
     * @return The active configuration.
     */
    public static ActiveConfiguration of(long version, FleetConfiguration configuration) {
        return new ActiveConfiguration(version, configuration);
    }

    /**
     * Indexes items by name.
     *
     * @param items The items.
     * @param name Reads an item's name.
     * @param <T> The type of the items.
     * @return The index, in the order of the items.
     */
    private static <T> Map<String, T> index(List<T> items, Function<T, String> name) {
        Map<String, T> index = new LinkedHashMap<>();
        for (T item : items) {
            index.put(name.apply(item), item);
        }
        return index;
    }

    /**
     * Returns the version of the object that holds the configuration.
     *
     * @return The version.
     */
    public long version() {
        return version;
    }

    /**
     * Returns the configuration itself.
     *
     * @return The configuration.
     */
    public FleetConfiguration configuration() {
        return configuration;
    }

    /**
     * Finds a model.
     *
     * @param name The model's name.
     * @return The model.
     */
    public Optional<Model> model(String name) {
        return Optional.ofNullable(models.get(name));
    }

    /**
     * Finds a plain service.
     *
     * @param name The service's name.
     * @return The service.
     */
    public Optional<Service> service(String name) {
        return Optional.ofNullable(services.get(name));
    }

    /**
     * Finds an organisation.
     *
     * @param name The organisation's name.
     * @return The organisation.
     */
    public Optional<Organisation> organisation(String name) {
        return Optional.ofNullable(organisations.get(name));
    }

    /**
     * Finds a target.
     *
     * @param name The target's name.
     * @return The target.
     */
    public Optional<Target> target(String name) {
        return Optional.ofNullable(targets.get(name));
    }

    /**
     * Returns the targets that serve a pool.
     *
     * @param pool The pool.
     * @return The targets, possibly none.
     */
    public List<Target> targets(Pool pool) {
        return pools.getOrDefault(pool, List.of());
    }

    /**
     * Returns the contract that binds an organisation.
     *
     * @param organisation The organisation.
     * @return The contract.
     */
    public Contract contract(Organisation organisation) {
        return contracts.get(organisation.contract());
    }

    /**
     * Returns the compiled policy of a contract.
     *
     * @param contract The contract.
     * @return The compiled policy.
     */
    public PolicyProgram policy(Contract contract) {
        return policies.get(contract.policy());
    }

    /**
     * Finds the organisation of a caller's key.
     *
     * @param key The key as the caller sent it.
     * @return The organisation.
     */
    public Optional<Organisation> organisationOfKey(String key) {
        return keys.find(key);
    }
}
