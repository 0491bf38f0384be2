/**
 * Connects the task that informs the target of its keys to the target, in the
 * way in which the target learns them.
 *
 * @module
 */
import { fitsAnswer } from "../../platform/key_reports.ts";
import { openKeyServer } from "../../platform/key_server.ts";
import { keyCount } from "../../platform/names.ts";
import type { PlatformSettings } from "../../platform/settings.ts";
import type { Events } from "../ports/events.ts";
import type { AnswerKeyReport } from "../ports/key_reports.ts";
import type { StartKeyGrants } from "../tasks/key_grants.ts";
import { startKeyGrants } from "../tasks/key_grants_task.ts";
import type { RegistrationTask } from "../tasks/registration_task.ts";
import {
  type ReportedKeysTask,
  startReportedKeys,
} from "../tasks/reported_keys_task.ts";
import { keyGrantsTimes, reportedKeysSettings } from "./platform_policy.ts";

/** The connection to a target that must be told which keys it holds. */
export interface TargetKeys {
  readonly startKeyGrants: StartKeyGrants;
  /** Null for a target whose heartbeats have no part in it. */
  readonly answerKeys: AnswerKeyReport | null;
  close(): Promise<void>;
}

interface TargetKeysOptions {
  readonly events: Events;
  readonly registration: RegistrationTask;
}

const keys = { count: keyCount };

/** Connects a target in the way that the settings name. */
export function connectTargetKeys(
  settings: PlatformSettings,
  options: TargetKeysOptions,
): TargetKeys {
  return settings.keyGrants === "orders"
    ? connectByOrders(settings, options)
    : connectByHeartbeats(settings, options);
}

function connectByOrders(
  settings: PlatformSettings,
  { events, registration }: TargetKeysOptions,
): TargetKeys {
  const keyServer = openKeyServer({
    address: settings.target,
    onConnectionRefused: () => registration.recordRefusal(),
  });
  return {
    startKeyGrants: ({ onSuperseded }) =>
      startKeyGrants({
        keyServer,
        keys,
        times: keyGrantsTimes(settings),
        events,
        targetLives: () => registration.isTargetAlive(),
        onSuperseded,
      }),
    answerKeys: null,
    close: () => keyServer.close(),
  };
}

function connectByHeartbeats(
  settings: PlatformSettings,
  { events }: Pick<TargetKeysOptions, "events">,
): TargetKeys {
  let task: ReportedKeysTask | null = null;
  return {
    startKeyGrants({ onSuperseded }) {
      task = startReportedKeys({
        keys,
        settings: reportedKeysSettings(settings),
        fits: fitsAnswer,
        events,
        onSuperseded,
      });
      return task;
    },
    answerKeys: (report) => task === null ? null : task.answer(report),
    close: () => Promise.resolve(),
  };
}
