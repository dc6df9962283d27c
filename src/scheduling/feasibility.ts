/**
 * Finds jobs that can never run. Workers of equal capacity form a class; a job
 * is checked against the classes, as a fleet has only a few.
 */

import {
  fitsWithin,
  multiplyResources,
  RESOURCE_NAMES,
  type Resources,
} from "../common/mod.ts";
import type { NeverRunnableReason } from "./types.ts";

/** The capacity classes of the fleet. */
export interface CapacityClasses {
  add(capacity: Resources): void;
  remove(capacity: Resources): void;
  list(): readonly CapacityClass[];
  /** Increases when a class is added or removed. */
  getClassVersion(): number;
  /** Increases with each change, also of the number of workers in a class. */
  getVersion(): number;
}

/** Workers of equal capacity. */
export interface CapacityClass {
  readonly capacity: Resources;
  readonly workers: number;
}

/** Creates an empty set of classes. */
export function createCapacityClasses(): CapacityClasses {
  const classes = new Map<string, { capacity: Resources; workers: number }>();
  let classVersion = 0;
  let version = 0;

  function getKey(capacity: Resources): string {
    return `${capacity.processors}/${capacity.memoryMb}/${capacity.accelerators}`;
  }

  return {
    add(capacity) {
      version++;
      const known = classes.get(getKey(capacity));
      if (known !== undefined) {
        known.workers++;
        return;
      }
      classes.set(getKey(capacity), { capacity, workers: 1 });
      classVersion++;
    },
    remove(capacity) {
      version++;
      const known = classes.get(getKey(capacity));
      if (known === undefined) return;
      known.workers--;
      if (known.workers > 0) return;
      classes.delete(getKey(capacity));
      classVersion++;
    },
    list: () => [...classes.values()],
    getClassVersion: () => classVersion,
    getVersion: () => version,
  };
}

/** The requirements of a job. */
export interface FeasibilityRequest {
  /** Resources of one task. */
  readonly resources: Resources;
  /** Number of tasks that must run concurrently. */
  readonly tasksAtOnce: number;
  /** The allotment of the workspace; undefined if unknown. */
  readonly allotment: Resources | undefined;
}

function computeTasksPerWorker(capacity: Resources, task: Resources): number {
  let count = Infinity;
  for (const name of RESOURCE_NAMES) {
    if (task[name] === 0) continue;
    count = Math.min(count, Math.floor(capacity[name] / task[name]));
  }
  return count;
}

function findWorkerReasons(
  request: FeasibilityRequest,
  classes: readonly CapacityClass[],
): NeverRunnableReason[] {
  const { resources } = request;
  const isSatisfiable = classes.some(({ capacity }) =>
    fitsWithin(resources, capacity)
  );
  if (isSatisfiable) return [];
  const offers = RESOURCE_NAMES.map((resource) => ({
    resource,
    requested: resources[resource],
    available: Math.max(
      0,
      ...classes.map(({ capacity }) => capacity[resource]),
    ),
  }));
  const short = offers.filter((offer) => offer.requested > offer.available);
  if (short.length > 0) {
    return short.map((offer) => ({ ...offer, bound: "worker" }));
  }
  // Each resource is available on some worker, but no single worker has all of them.
  return offers.filter((offer) => offer.requested > 0)
    .map((offer) => ({ ...offer, bound: "combination" }));
}

function findAllotmentReasons(
  request: FeasibilityRequest,
): NeverRunnableReason[] {
  const { allotment } = request;
  if (allotment === undefined) return [];
  const needed = multiplyResources(request.resources, request.tasksAtOnce);
  return RESOURCE_NAMES
    .filter((resource) => needed[resource] > Math.max(0, allotment[resource]))
    .map((resource) => ({
      resource,
      requested: needed[resource],
      available: Math.max(0, allotment[resource]),
      bound: "allotment",
    }));
}

function findFleetReasons(
  request: FeasibilityRequest,
  classes: readonly CapacityClass[],
): NeverRunnableReason[] {
  let fittingTasks = 0;
  for (const { capacity, workers } of classes) {
    fittingTasks += workers *
      computeTasksPerWorker(capacity, request.resources);
    if (fittingTasks >= request.tasksAtOnce) return [];
  }
  return RESOURCE_NAMES.filter((resource) => request.resources[resource] > 0)
    .map((resource) => ({
      resource,
      requested: request.resources[resource] * request.tasksAtOnce,
      available: request.resources[resource] * fittingTasks,
      bound: "fleet",
    }));
}

/** Returns the reasons why the request can never be met; empty if it can. */
export function findNeverRunnableReasons(
  request: FeasibilityRequest,
  classes: readonly CapacityClass[],
): NeverRunnableReason[] {
  const reasons = [
    ...findWorkerReasons(request, classes),
    ...findAllotmentReasons(request),
  ];
  if (reasons.length > 0) return reasons;
  return findFleetReasons(request, classes);
}
