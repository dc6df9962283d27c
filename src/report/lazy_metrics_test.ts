import t from "tap";
import { createLazyMetrics } from "./lazy_metrics.ts";
import { createMetrics } from "./metrics.ts";

t.test("what was counted before the first page is on it", async (t) => {
  let loads = 0;
  const metrics = createLazyMetrics({ labels: { instance: "a" } }, () => {
    loads += 1;
    return Promise.resolve(createMetrics);
  });
  metrics.addCount("run_ends_total", { outcome: "done" });
  metrics.addCount("run_ends_total", { outcome: "done" }, 2);
  metrics.setGauge("steps_waiting", 7);
  metrics.recordDuration("work_call_ms", 12, { call: "submit" });
  t.equal(loads, 0);
  await Promise.all([metrics.render(), metrics.render()]);
  metrics.addCount("run_ends_total", { outcome: "done" });
  const page = await metrics.render();
  t.equal(loads, 1);
  t.match(page, /run_ends_total\{[^}]*outcome="done"[^}]*\} 4/);
  t.match(page, /steps_waiting\{[^}]*\} 7/);
  t.match(page, /work_call_ms\{[^}]*call="submit"[^}]*\} 12/);
});
