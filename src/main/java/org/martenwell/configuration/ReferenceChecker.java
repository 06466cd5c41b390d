package org.martenwell.configuration;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import org.martenwell.json.Problem;
import org.martenwell.service.IpAddress;

/**
 * Checks the uniqueness of names, the references between the parts of a configuration and the
 * addresses of targets.
 */
final class ReferenceChecker {

    private final String file;

    private final FleetConfiguration configuration;

    private final List<Problem> problems = new ArrayList<>();

    private ReferenceChecker(String file, FleetConfiguration configuration) {
        this.file = file;
        this.configuration = configuration;
    }

    /**
     * Creates a checker.
     *
     * @param file The name of the document, for messages.
     * @param configuration The configuration to check.
     * @return The checker, for one call of {@link #problems}.
     */
    static ReferenceChecker of(String file, FleetConfiguration configuration) {
        return new ReferenceChecker(file, configuration);
    }

    /**
     * Checks the configuration.
     *
     * @return All problems found, empty if there are none.
     */
    List<Problem> problems() {
        Set<String> models = collectNames("models", configuration.models(), Model::name);
        Set<String> services = collectNames("services", configuration.services(), Service::name);
        Set<String> contracts =
                collectNames("contracts", configuration.contracts(), Contract::name);
        Set<String> policies = collectNames("policies", configuration.policies(), Policy::name);
        collectNames("organisations", configuration.organisations(), Organisation::name);
        collectNames("targets", configuration.targets(), Target::name);
        checkContracts(policies);
        checkOrganisations(contracts);
        checkTargets(models, services);
        return problems;
    }

    /**
     * Collects the names of a list and reports duplicates.
     *
     * @param list The field that holds the list.
     * @param items The items.
     * @param name Reads an item's name.
     * @param <T> The type of the items.
     * @return The names.
     */
    private <T> Set<String> collectNames(String list, List<T> items, Function<T, String> name) {
        Set<String> names = new HashSet<>();
        for (int index = 0; index < items.size(); index++) {
            String value = name.apply(items.get(index));
            if (!names.add(value)) {
                report(
                        "/" + list + "/" + index + "/name",
                        "the name " + value + " is not unique",
                        "a name that no other item has");
            }
        }
        return names;
    }

    private void checkContracts(Set<String> policies) {
        List<Contract> contracts = configuration.contracts();
        for (int index = 0; index < contracts.size(); index++) {
            checkReference(
                    "/contracts/" + index + "/policy", contracts.get(index).policy(), policies);
        }
    }

    /**
     * Checks that organisations refer to known contracts and that no two share an API key.
     *
     * @param contracts The names of the contracts.
     */
    private void checkOrganisations(Set<String> contracts) {
        Map<String, String> owners = new HashMap<>();
        List<Organisation> organisations = configuration.organisations();
        for (int index = 0; index < organisations.size(); index++) {
            Organisation organisation = organisations.get(index);
            String pointer = "/organisations/" + index;
            checkReference(pointer + "/contract", organisation.contract(), contracts);
            for (String hash : organisation.keyHashes()) {
                String owner = owners.putIfAbsent(hash, organisation.name());
                if (owner != null) {
                    report(
                            pointer + "/keyHashes",
                            "a key is already used by " + owner,
                            "keys that no other organisation has");
                }
            }
        }
    }

    /**
     * Checks that targets serve known models or services and have valid addresses.
     *
     * @param models The names of the models.
     * @param services The names of the plain services.
     */
    private void checkTargets(Set<String> models, Set<String> services) {
        List<Target> targets = configuration.targets();
        for (int index = 0; index < targets.size(); index++) {
            Target target = targets.get(index);
            String pointer = "/targets/" + index;
            Set<String> allowed = target.kind() == PoolKind.MODEL ? models : services;
            for (String name : target.serves()) {
                checkReference(pointer + "/serves", name, allowed);
            }
            if (IpAddress.parse(target.address()).isEmpty()) {
                report(pointer + "/address", target.address(), "an IP address and a port");
            }
        }
    }

    private void checkReference(String pointer, String name, Set<String> known) {
        if (!known.contains(name)) {
            report(pointer, "unknown name " + name, "one of " + known.stream().sorted().toList());
        }
    }

    /**
     * Adds a problem.
     *
     * @param pointer The JSON pointer to the invalid value.
     * @param fault The description of the error.
     * @param allowed The description of the values allowed there.
     */
    private void report(String pointer, String fault, String allowed) {
        problems.add(new Problem(file, pointer, fault, allowed));
    }
}
