import t from "tap";
import { createLazyMetrics } from "./lazy_metrics.ts";
import { createMetrics } from "./metrics.ts";

t.test("the first scrape contains values recorded before it", async (t) => {
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
  const text = await metrics.render();
  t.equal(loads, 1);
  t.match(text, /run_ends_total\{[^}]*outcome="done"[^}]*\} 4/);
  t.match(text, /steps_waiting\{[^}]*\} 7/);
  t.match(text, /work_call_ms\{[^}]*call="submit"[^}]*\} 12/);
});
