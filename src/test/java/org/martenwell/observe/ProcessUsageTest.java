package org.martenwell.observe;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

final class ProcessUsageTest {

    @Test
    void testUsageIncludesOpenFilesAndTheirLimit(@TempDir Path folder) throws IOException {
        ProcessUsage usage = new ProcessUsage();
        Path file = Files.createFile(folder.resolve("file"));
        long before = usage.measure().descriptors();
        List<InputStream> open = new ArrayList<>();
        for (int count = 0; count < 200; count++) {
            open.add(Files.newInputStream(file));
        }
        ProcessUsage.Interval used = usage.measure();
        for (InputStream each : open) {
            each.close();
        }
        assertThat(used.descriptors()).isGreaterThan(before);
        assertThat(used.descriptorLimit()).isGreaterThan(used.descriptors());
        assertThat(used.processorMillis()).isNotNegative();
        assertThat(used.heapMegabytes()).isPositive();
    }
}
