import t from "tap";
import { createStep } from "../model/mod.ts";
import type { OpenStep } from "./plan_types.ts";
import { createStartBudget, MAX_STARTS_PER_ROUND } from "./start_budget.ts";

function createOpenStep(tasks: number, step: Partial<OpenStep> = {}): OpenStep {
  return {
    key: "job/0/0",
    priority: 1,
    dueMs: 60_000,
    zeroValueMs: 120_000,
    remainingMs: 1_000,
    spec: createStep({ tasks }),
    waiting: Array.from({ length: tasks }, (_, at) => at),
    ...step,
  } as OpenStep;
}

// Guards against a round whose orders take longer than the lease to send.
t.test("a wide step starts over several rounds", (t) => {
  const budget = createStartBudget({ wallMs: 0 });
  const wide = createOpenStep(10_000);
  const share = budget.getShare(wide);
  t.match(share, { step: { waiting: { length: MAX_STARTS_PER_ROUND } } });
  budget.subtract(wide, MAX_STARTS_PER_ROUND);
  t.strictSame(budget.getShare(createOpenStep(1)), { reason: "nextRound" });
  const gang = createOpenStep(300, { spec: createStep({ gang: true }) });
  t.strictSame(budget.getShare(gang), { step: gang }, "a gang starts whole");
  t.end();
});

t.test("starts that were not used are left for other steps", (t) => {
  const budget = createStartBudget({ wallMs: 0 });
  const wide = createOpenStep(10_000);
  budget.getShare(wide);
  budget.subtract(wide, 100);
  const share = budget.getShare(wide);
  t.match(share, {
    step: { waiting: { length: MAX_STARTS_PER_ROUND - 100 } },
  });
  t.end();
});

t.test("a busy leader starts few tasks that can wait", (t) => {
  const budget = createStartBudget({ wallMs: 0, patientStarts: 2 });
  const patient = createOpenStep(5);
  t.match(budget.getShare(patient), { step: { waiting: [0, 1] } });
  budget.subtract(patient, 2);
  t.strictSame(budget.getShare(patient), { reason: "leaderBusy" });
  const urgent = createOpenStep(5, { priority: 0 });
  t.strictSame(budget.getShare(urgent), { step: urgent });
  t.end();
});
