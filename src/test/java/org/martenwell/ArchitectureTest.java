package org.martenwell;

import static com.tngtech.archunit.core.domain.JavaCall.Predicates.target;
import static com.tngtech.archunit.core.domain.JavaClass.Predicates.type;
import static com.tngtech.archunit.core.domain.properties.HasOwner.Predicates.With.owner;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;
import org.martenwell.exchange.InternalHttpClient;
import org.martenwell.exchange.TargetConnections;

@AnalyzeClasses(packages = "org.martenwell", importOptions = ImportOption.DoNotIncludeTests.class)
class ArchitectureTest {

    @ArchTest
    static final ArchRule DECISION_LOGIC_USES_NO_IO_OR_CONCURRENCY =
            noClasses()
                    .that()
                    .resideInAnyPackage(
                            "org.martenwell.schedule..",
                            "org.martenwell.admission..",
                            "org.martenwell.member..",
                            "org.martenwell.policy..",
                            "org.martenwell.balance..",
                            "org.martenwell.share..",
                            "org.martenwell.quarantine..",
                            "org.martenwell.prompt..",
                            "org.martenwell.version..",
                            "org.martenwell.offload..",
                            "org.martenwell.configuration..")
                    .should()
                    .dependOnClassesThat()
                    .resideInAnyPackage(
                            "io.activej..", "java.net.http..", "java.util.concurrent..");

    @ArchTest
    static final ArchRule DECISION_LOGIC_READS_NO_CLOCK =
            noClasses()
                    .that()
                    .resideInAnyPackage(
                            "org.martenwell.schedule..",
                            "org.martenwell.admission..",
                            "org.martenwell.balance..",
                            "org.martenwell.share..",
                            "org.martenwell.quarantine..",
                            "org.martenwell.prompt..",
                            "org.martenwell.version..",
                            "org.martenwell.offload..",
                            "org.martenwell.member..")
                    .should()
                    .callMethod(System.class, "currentTimeMillis")
                    .orShould()
                    .callMethod(System.class, "nanoTime");

    @ArchTest
    static final ArchRule PRODUCTION_CODE_DOES_NOT_DEPEND_ON_STAND_INS =
            noClasses()
                    .that()
                    .resideOutsideOfPackages(
                            "org.martenwell.standin..",
                            "org.martenwell.demo..",
                            "org.martenwell.command..")
                    .should()
                    .dependOnClassesThat()
                    .resideInAnyPackage("org.martenwell.standin..", "org.martenwell.demo..");

    @ArchTest
    static final ArchRule OTHER_PACKAGES_DO_NOT_DEPEND_ON_PLATFORM =
            noClasses()
                    .that()
                    .resideOutsideOfPackage("org.martenwell.platform..")
                    .should()
                    .dependOnClassesThat()
                    .resideInAPackage("org.martenwell.platform..");

    @ArchTest
    static final ArchRule PLATFORM_DOES_NOT_DEPEND_ON_DECISION_LOGIC =
            noClasses()
                    .that()
                    .resideInAPackage("org.martenwell.platform..")
                    .should()
                    .dependOnClassesThat()
                    .resideInAnyPackage(
                            "org.martenwell.balance..",
                            "org.martenwell.share..",
                            "org.martenwell.schedule..",
                            "org.martenwell.admission..",
                            "org.martenwell.member..",
                            "org.martenwell.policy..",
                            "org.martenwell.offload..",
                            "org.martenwell.peer..");

    @ArchTest
    static final ArchRule ONLY_TARGET_TABLE_CREATES_TARGET_CLIENTS =
            noClasses()
                    .that()
                    .resideInAPackage("org.martenwell.gateway..")
                    .and()
                    .doNotHaveSimpleName("TargetTable")
                    .should()
                    .callConstructorWhere(target(owner(type(TargetConnections.class))))
                    .orShould()
                    .callConstructorWhere(target(owner(type(InternalHttpClient.class))));

    @ArchTest
    static final ArchRule PACKAGES_ARE_FREE_OF_CYCLES =
            slices().matching("org.martenwell.(*)..").should().beFreeOfCycles();
}
