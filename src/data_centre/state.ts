/**
 * State machine of a data centre log. It has three parts: jobs, allotments and
 * request records. Each command belongs to one part.
 */

import { Buffer } from "node:buffer";
import { createAllotments } from "../allotments/mod.ts";
import type {
  AllotmentCommand,
  AllotmentResult,
  Allotments,
} from "../allotments/mod.ts";
import { createFault, toFault } from "../common/mod.ts";
import type { StateMachine } from "../replicated_log/mod.ts";
import {
  createRequestRecords,
  decodeRecordCommand,
  encodeRecordCommand,
  type RecordCommand,
  type RecordDecision,
  type RequestRecords,
  type RequestRecordsOptions,
} from "../requests/mod.ts";
import {
  readAllotmentCommand,
  readJobCommands,
  readRecordCommand,
} from "./command_schema.ts";
import {
  createJobRecords,
  type JobCommand,
  type JobCommandResult,
  type JobRecords,
} from "./job_records.ts";

/** A command of the data centre log. */
export type DataCentreCommand =
  | { readonly part: "jobs"; readonly commands: readonly JobCommand[] }
  | { readonly part: "allotments"; readonly command: AllotmentCommand }
  | { readonly part: "requests"; readonly command: RecordCommand };

/** Result of a command; its type depends on the part. */
export type DataCentreResult =
  | JobCommandResult[]
  | AllotmentResult
  | RecordDecision
  | boolean;

/** State machine of a data centre log. */
export interface DataCentreState extends StateMachine {
  readonly jobs: JobRecords;
  readonly allotments: Allotments;
  readonly requests: RequestRecords;
}

/** Options of the state. */
export interface DataCentreStateOptions {
  dataCentre: string;
  /** Bounds of the request records; must be the same on all members. */
  requestRecords?: RequestRecordsOptions;
  /** Called after each applied command. */
  handleApplied?: (part: DataCentreCommand["part"]) => void;
}

/** First byte of an encoded command, by part. */
const PART_TAGS = Object.freeze({ jobs: 1, allotments: 2, requests: 3 });

const LENGTH_BYTES = 4;

/** Encodes a command for the log. */
export function encodeDataCentreCommand(command: DataCentreCommand): Buffer {
  const head = Buffer.from([PART_TAGS[command.part]]);
  switch (command.part) {
    case "jobs":
      return Buffer.concat([
        head,
        Buffer.from(JSON.stringify(command.commands)),
      ]);
    case "allotments":
      return Buffer.concat([
        head,
        Buffer.from(JSON.stringify(command.command)),
      ]);
    case "requests":
      return Buffer.concat([head, encodeRecordCommand(command.command)]);
  }
}

function encodeParts(parts: readonly Uint8Array[]): Buffer {
  const chunks: Uint8Array[] = [];
  for (const part of parts) {
    const length = Buffer.alloc(LENGTH_BYTES);
    length.writeUInt32BE(part.length);
    chunks.push(length, part);
  }
  return Buffer.concat(chunks);
}

function decodeParts(data: Uint8Array): Buffer[] {
  const buffer = Buffer.from(data.buffer, data.byteOffset, data.length);
  const parts: Buffer[] = [];
  let offset = 0;
  while (offset < buffer.length) {
    const length = buffer.readUInt32BE(offset);
    offset += LENGTH_BYTES;
    parts.push(buffer.subarray(offset, offset + length));
    offset += length;
  }
  return parts;
}

/** Creates the empty state. */
export function createDataCentreState(
  options: DataCentreStateOptions,
): DataCentreState {
  const jobs = createJobRecords();
  const allotments = createAllotments(options.dataCentre);
  const requests = createRequestRecords(options.requestRecords);

  function applyPart(part: number, body: Uint8Array): DataCentreResult {
    if (part === PART_TAGS.requests) {
      return requests.apply(readRecordCommand(decodeRecordCommand(body)));
    }
    if (part !== PART_TAGS.allotments && part !== PART_TAGS.jobs) {
      throw createFault("internal", `Cannot read a command of part ${part}`, {
        ran: "no",
      });
    }
    const parsed = JSON.parse(Buffer.from(body).toString("utf8"));
    if (part === PART_TAGS.allotments) {
      return allotments.apply(readAllotmentCommand(parsed));
    }
    return readJobCommands(parsed).map((command) => jobs.apply(command));
  }

  function getPartName(part: number): DataCentreCommand["part"] {
    if (part === PART_TAGS.requests) return "requests";
    return part === PART_TAGS.allotments ? "allotments" : "jobs";
  }

  return {
    jobs,
    allotments,
    requests,
    apply(command) {
      const part = command[0] ?? 0;
      try {
        const result = applyPart(part, command.subarray(1));
        options.handleApplied?.(getPartName(part));
        return result;
      } catch (error) {
        // An unreadable command changes nothing, on all members alike.
        return toFault(error);
      }
    },
    takeSnapshot: () =>
      encodeParts([
        Buffer.from(JSON.stringify(jobs.toJson())),
        allotments.takeSnapshot(),
        requests.takeSnapshot(),
      ]),
    restoreSnapshot(data) {
      const [jobPart, allotmentPart, requestPart] = decodeParts(data);
      jobs.restoreJson(JSON.parse((jobPart ?? Buffer.alloc(0)).toString()));
      allotments.restoreSnapshot(allotmentPart ?? Buffer.alloc(0));
      requests.restoreSnapshot(requestPart ?? Buffer.alloc(0));
      options.handleApplied?.("requests");
    },
  };
}
