package org.martenwell.configuration;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.martenwell.policy.PolicyCompiler;
import org.martenwell.policy.PolicyProgram;

/** A valid configuration with its version, indexes by name and compiled policies. Immutable. */
public final class ActiveConfiguration {

    /** The version of the stored object that holds the configuration. */
    private final long version;

    private final FleetConfiguration configuration;

    private final Map<String, Model> models;

    private final Map<String, Service> services;

    private final Map<String, Contract> contracts;

    private final Map<String, Organisation> organisations;

    private final Map<String, Target> targets;

    /** The targets of each pool, in the order of the configuration. */
    private final Map<Pool, List<Target>> targetsByPool;

    /** The compiled policies by name. */
    private final Map<String, PolicyProgram> policies;

    /** The organisations by the hashes of their API keys. */
    private final KeyTable keyTable;

    private ActiveConfiguration(long version, FleetConfiguration configuration) {
        this.version = version;
        this.configuration = configuration;
        models = index(configuration.models(), Model::name);
        services = index(configuration.services(), Service::name);
        contracts = index(configuration.contracts(), Contract::name);
        organisations = index(configuration.organisations(), Organisation::name);
        targets = index(configuration.targets(), Target::name);
        targetsByPool =
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
        keyTable = KeyTable.of(configuration.organisations());
    }

    /**
     * Indexes a configuration and compiles its policies.
     *
     * @param version The version of the stored object that holds the configuration.
     * @param configuration A configuration that {@link FleetConfigurationReader} has checked.
     * @return The active configuration.
     */
    public static ActiveConfiguration of(long version, FleetConfiguration configuration) {
        return new ActiveConfiguration(version, configuration);
    }

    private static <T> Map<String, T> index(List<T> items, Function<T, String> name) {
        Map<String, T> index = new LinkedHashMap<>();
        for (T item : items) {
            index.put(name.apply(item), item);
        }
        return index;
    }

    /** {@return the version of the stored object that holds the configuration} */
    public long version() {
        return version;
    }

    /** {@return the configuration as it was read} */
    public FleetConfiguration configuration() {
        return configuration;
    }

    /**
     * Finds a model.
     *
     * @param name The model's name.
     * @return The model, or empty if none has this name.
     */
    public Optional<Model> model(String name) {
        return Optional.ofNullable(models.get(name));
    }

    /**
     * Finds a plain service.
     *
     * @param name The service's name.
     * @return The service, or empty if none has this name.
     */
    public Optional<Service> service(String name) {
        return Optional.ofNullable(services.get(name));
    }

    /**
     * Finds an organisation.
     *
     * @param name The organisation's name.
     * @return The organisation, or empty if none has this name.
     */
    public Optional<Organisation> organisation(String name) {
        return Optional.ofNullable(organisations.get(name));
    }

    /**
     * Finds a target.
     *
     * @param name The target's name.
     * @return The target, or empty if none has this name.
     */
    public Optional<Target> target(String name) {
        return Optional.ofNullable(targets.get(name));
    }

    /**
     * Returns the targets that serve a pool.
     *
     * @param pool The pool.
     * @return The targets, empty if no target serves the pool.
     */
    public List<Target> targets(Pool pool) {
        return targetsByPool.getOrDefault(pool, List.of());
    }

    /**
     * Returns the contract of an organisation.
     *
     * @param organisation An organisation of this configuration.
     * @return The contract.
     */
    public Contract contract(Organisation organisation) {
        return contracts.get(organisation.contract());
    }

    /**
     * Returns the compiled policy of a contract.
     *
     * @param contract A contract of this configuration.
     * @return The compiled policy.
     */
    public PolicyProgram policy(Contract contract) {
        return policies.get(contract.policy());
    }

    /**
     * Finds the organisation that an API key belongs to.
     *
     * @param key The key as the caller sent it.
     * @return The organisation, or empty if the key is unknown.
     */
    public Optional<Organisation> organisationOfKey(String key) {
        return keyTable.find(key);
    }
}
