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

/** Checks that the parts of a configuration refer to each other rightly. */
final class ReferenceChecker {

    /** The name of the document. */
    private final String file;

    /** The configuration to check. */
    private final FleetConfiguration configuration;

    /** The problems found so far. */
    private final List<Problem> problems = new ArrayList<>();

    /**
     * Creates a checker.
     *
     * @param file The name of the document.
     * @param configuration The configuration to check.
     */
    private ReferenceChecker(String file, FleetConfiguration configuration) {
        this.file = file;
        this.configuration = configuration;
    }

    /**
     * Creates a checker.
     *
     * @param file The name of the document.
     * @param configuration The configuration to check.
     * @return The checker.
     */
    static ReferenceChecker of(String file, FleetConfiguration configuration) {
        return new ReferenceChecker(file, configuration);
    }

    /**
     * Checks the configuration.
     *
     * @return The problems found.
     */
    List<Problem> problems() {
        Set<String> models = names("models", configuration.models(), Model::name);
        Set<String> services = names("services", configuration.services(), Service::name);
        Set<String> contracts = names("contracts", configuration.contracts(), Contract::name);
        Set<String> policies = names("policies", configuration.policies(), Policy::name);
        names("organisations", configuration.organisations(), Organisation::name);
        names("targets", configuration.targets(), Target::name);
        checkContracts(policies);
        checkOrganisations(contracts);
        checkTargets(models, services);
        return problems;
    }

    /**
     * Collects the names of a list and reports names that occur twice.
     *
     * @param list The field that holds the list.
     * @param items The items.
     * @param name Reads an item's name.
     * @param <T> The type of the items.
     * @return The names.
     */
    private <T> Set<String> names(String list, List<T> items, Function<T, String> name) {
        Set<String> names = new HashSet<>();
        for (int index = 0; index < items.size(); index++) {
            String value = name.apply(items.get(index));
            if (!names.add(value)) {
                report(
                        "/" + list + "/" + index + "/name",
                        "the name " + value + " occurs twice",
                        "one item a name");
            }
        }
        return names;
    }

    /**
     * Checks that contracts name known policies.
     *
     * @param policies The names of the policies.
     */
    private void checkContracts(Set<String> policies) {
        List<Contract> contracts = configuration.contracts();
        for (int index = 0; index < contracts.size(); index++) {
            checkReference(
                    "/contracts/" + index + "/policy", contracts.get(index).policy(), policies);
        }
    }

    /**
     * Checks that organisations name known contracts and share no key.
     *
     * @param contracts The names of the contracts.
     */
    private void checkOrganisations(Set<String> contracts) {
        Map<String, String> owners = new HashMap<>();
        List<Organisation> organisations = configuration.organisations();
        for (int index = 0; index < organisations.size(); index++) {
            Organisation organisation = organisations.get(index);
            String place = "/organisations/" + index;
            checkReference(place + "/contract", organisation.contract(), contracts);
            for (String hash : organisation.keyHashes()) {
                String owner = owners.putIfAbsent(hash, organisation.name());
                if (owner != null) {
                    report(
                            place + "/keyHashes",
                            "a key also belongs to " + owner,
                            "keys of one organisation");
                }
            }
        }
    }

    /**
     * Checks that targets serve known models and services at valid addresses.
     *
     * @param models The names of the models.
     * @param services The names of the plain services.
     */
    private void checkTargets(Set<String> models, Set<String> services) {
        List<Target> targets = configuration.targets();
        for (int index = 0; index < targets.size(); index++) {
            Target target = targets.get(index);
            String place = "/targets/" + index;
            Set<String> allowed = target.kind() == PoolKind.MODEL ? models : services;
            for (String name : target.serves()) {
                checkReference(place + "/serves", name, allowed);
            }
            if (IpAddress.parse(target.address()).isEmpty()) {
                report(place + "/address", target.address(), "an IP number and a port");
            }
        }
    }

    /**
     * Checks one reference.
     *
     * @param place The place of the reference.
     * @param name The name referred to.
     * @param known The known names.
     */
    private void checkReference(String place, String name, Set<String> known) {
        if (!known.contains(name)) {
            report(place, "nothing is named " + name, "one of " + known.stream().sorted().toList());
        }
    }

    /**
     * Reports a problem.
     *
     * @param place The JSON pointer of the place.
     * @param fault What is wrong there.
     * @param allowed What is allowed there.
     */
    private void report(String place, String fault, String allowed) {
        problems.add(new Problem(file, place, fault, allowed));
    }
}
