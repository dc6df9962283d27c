import { setImmediate as waitForImmediate } from "node:timers/promises";
import t from "tap";
import {
  createDurationHistogram,
  decodeDurationHistogram,
} from "./duration_histogram.ts";
import { ITEMS_PER_BATCH } from "./event_loop.ts";
import { createMetrics, MAX_LABEL_SETS, OTHER_LABEL_VALUE } from "./metrics.ts";

// Guards against rendered metrics with lost values or wrong labels.
t.test("the text contains counters, gauges and quantiles", async (t) => {
  const metrics = createMetrics({ labels: { instance: "a1" } });
  metrics.addCount("http_answers_total", { route: "GET /x", status: "200" });
  metrics.addCount("http_answers_total", { route: "GET /x", status: "200" }, 2);
  metrics.setGauge("config_version", 7);
  for (let ms = 1; ms <= 100; ms++) {
    metrics.recordDuration("request_duration_ms", ms, { workspace: 'a"b' });
  }
  const text = await metrics.render();
  const lines = text.split("\n");
  const find = (start: string) =>
    Number(lines.find((line) => line.startsWith(start))?.split(" ").at(-1));
  t.equal(find('goldcrestlug_http_answers_total{route="GET /x"'), 3);
  t.equal(find('goldcrestlug_config_version{instance="a1"}'), 7);
  const labels = 'workspace="a\\"b"';
  const median = find(
    `goldcrestlug_request_duration_ms{${labels},quantile="0.5"`,
  );
  t.ok(Math.abs(median - 50) <= 1, `median ${median}`);
  t.equal(find(`goldcrestlug_request_duration_ms_count{${labels}`), 100);
  const sum = find(`goldcrestlug_request_duration_ms_sum{${labels}`);
  t.ok(Math.abs(sum - 5_050) < 51, `sum ${sum}`);
  t.match(text, "# TYPE goldcrestlug_http_answers_total counter");
});

// Guards against two instances in one process sharing their metrics.
t.test("each instance has its own metrics", async (t) => {
  const first = createMetrics({ labels: { instance: "a1" } });
  const second = createMetrics({ labels: { instance: "a2" } });
  first.setGauge("config_version", 7);
  const text = await second.render();
  t.match(text, 'goldcrestlug_config_version{instance="a2"} 0\n');
  t.notMatch(text, "a1");
  t.equal(second.getDuration("placement_ms"), undefined);
  first.recordDuration("placement_ms", 2);
  t.equal(first.getDuration("placement_ms")?.count, 1);
  t.equal(second.getDuration("placement_ms"), undefined);
});

// Guards against a caller exhausting memory with made-up label values.
t.test("the number of label sets is limited", async (t) => {
  const metrics = createMetrics({ labels: {} });
  for (let i = 0; i < MAX_LABEL_SETS.duration + 5; i++) {
    metrics.recordDuration("request_wait_ms", 1, { workspace: `t${i}` });
  }
  const other = metrics.getDuration("request_wait_ms", {
    workspace: OTHER_LABEL_VALUE,
  });
  t.equal(other?.count, 5);
  metrics.recordDuration("request_wait_ms", 1, { workspace: "t0" });
  const first = metrics.getDuration("request_wait_ms", { workspace: "t0" });
  t.equal(first?.count, 2);
  await t.resolves(metrics.render());
});

// Guards against rendering that blocks the requests and heartbeats of the process.
t.test("rendering does not block the event loop", async (t) => {
  const metrics = createMetrics({ labels: {} });
  for (let i = 0; i < 890; i++) {
    metrics.recordDuration("request_wait_ms", 1, { workspace: `t${i}` });
  }
  let isDone = false;
  const renders = [metrics.render(), metrics.render()];
  void Promise.all(renders).then(() => isDone = true);
  let iterations = 0;
  for (; !isDone; iterations++) await waitForImmediate();
  t.ok(iterations >= 890 / ITEMS_PER_BATCH, `${iterations} iterations`);
  const [first, second] = await Promise.all(renders);
  t.equal(first, second, "concurrent renders are complete");
});

// Guards against a misused metric silently recording nothing.
t.test("a metric used as another kind is rejected", (t) => {
  const metrics = createMetrics({ labels: {} });
  t.throws(() => metrics.setGauge("requests_total", 1), {
    message: 'Cannot use metric "requests_total" as a gauge: it is a counter',
  });
  t.throws(() => metrics.addCount("placement_ms"));
  t.end();
});

// Guards against durations the histogram cannot hold: negative, above a day, or above 32 bits.
t.test("histograms clamp durations to one day", (t) => {
  const histogram = createDurationHistogram();
  for (const ms of [-5, 0.25, 3_600_000, 1e12, Infinity]) histogram.record(ms);
  const copy = decodeDurationHistogram(histogram.encode());
  for (const { count, maxMs } of [histogram, copy].map((h) => h.getSummary())) {
    t.equal(count, 5);
    t.ok(Math.abs(maxMs / 86_400_000 - 1) < 0.01);
  }
  const hourMs = histogram.getPercentile(50);
  t.ok(Math.abs(hourMs / 3_600_000 - 1) < 0.01, `${hourMs}`);
  copy.add(histogram);
  t.equal(copy.getSummary().count, 10);
  t.end();
});
