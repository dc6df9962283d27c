import { setImmediate as waitForTurn } from "node:timers/promises";
import t from "tap";
import {
  createDurationHistogram,
  decodeDurationHistogram,
} from "./duration_histogram.ts";
import { ITEMS_PER_BATCH } from "./event_loop.ts";
import { createMetrics, MAX_LABEL_SETS, OTHER_LABEL_VALUE } from "./metrics.ts";

// Guards against a page on which values are lost or have the wrong labels.
t.test("the page shows counters, gauges and quantiles", async (t) => {
  const metrics = createMetrics({ labels: { instance: "a1" } });
  metrics.addCount("http_answers_total", { route: "GET /x", status: "200" });
  metrics.addCount("http_answers_total", { route: "GET /x", status: "200" }, 2);
  metrics.setGauge("config_version", 7);
  for (let ms = 1; ms <= 100; ms++) {
    metrics.recordDuration("request_duration_ms", ms, { workspace: 'a"b' });
  }
  const page = await metrics.render();
  const lines = page.split("\n");
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
  t.match(page, "# TYPE goldcrestlug_http_answers_total counter");
});

// Guards against two instances in one process that share their figures.
t.test("each instance has metrics of its own", async (t) => {
  const first = createMetrics({ labels: { instance: "a1" } });
  const second = createMetrics({ labels: { instance: "a2" } });
  first.setGauge("config_version", 7);
  const page = await second.render();
  t.match(page, 'goldcrestlug_config_version{instance="a2"} 0\n');
  t.notMatch(page, "a1");
  t.equal(second.getDuration("placement_ms"), undefined);
  first.recordDuration("placement_ms", 2);
  t.equal(first.getDuration("placement_ms")?.count, 1);
  t.equal(second.getDuration("placement_ms"), undefined);
});

// Guards against a caller that fills the memory with label values.
t.test("label sets are bounded", async (t) => {
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

// Guards against a page that holds up the requests and heartbeats of the process.
t.test("other work goes on while a page is made", async (t) => {
  const metrics = createMetrics({ labels: {} });
  for (let i = 0; i < 890; i++) {
    metrics.recordDuration("request_wait_ms", 1, { workspace: `t${i}` });
  }
  let isDone = false;
  const pages = [metrics.render(), metrics.render()];
  void Promise.all(pages).then(() => isDone = true);
  let turns = 0;
  for (; !isDone; turns++) await waitForTurn();
  t.ok(turns >= 890 / ITEMS_PER_BATCH, `${turns} turns`);
  const [first, second] = await Promise.all(pages);
  t.equal(first, second, "pages that are asked for at once are whole");
});

// Guards against a misused metric that silently records nothing.
t.test("a metric of another kind is refused", (t) => {
  const metrics = createMetrics({ labels: {} });
  t.throws(() => metrics.setGauge("requests_total", 1), {
    message: 'Cannot use metric "requests_total" as a gauge: it is a counter',
  });
  t.throws(() => metrics.addCount("placement_ms"));
  t.end();
});

// Guards against durations that break the histogram: below 0, above a day, or long ones past 32 bits.
t.test("histograms hold durations up to a day", (t) => {
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
