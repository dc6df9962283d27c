/**
 * Named settings of the configuration, and the last ones of those that it no longer has.
 * An accepted job refers to its queue and workspace by name and goes on after they are
 * removed, so their settings are retained while open jobs use them.
 */

/**
 * Number of configuration changes for which unused settings are retained. A submission
 * may be recorded after the changes that were in progress when it was accepted; the
 * platform sends up to eight at once.
 */
const UNUSED_CHANGES = 8;

/** Settings that the configuration no longer has. */
export interface RemovedSettings<Settings> {
  readonly settings: Settings;
  /** Number of configuration changes since they were last configured or used. */
  readonly unusedChanges: number;
}

/** The configured and the retained settings of one kind. */
export interface RetainedSettings<Settings extends { readonly name: string }> {
  /** Replaces the configured settings; `isUsed` tells whether an open job refers to a name. */
  set(next: readonly Settings[], isUsed: (name: string) => boolean): void;
  /** Returns the configured settings, or else the retained ones. */
  find(name: string): Settings | undefined;
  findConfigured(name: string): Settings | undefined;
  /** Lists the configured and the retained settings. */
  list(): Settings[];
  listRemoved(): RemovedSettings<Settings>[];
  /** Replaces all settings by those of a snapshot. */
  restore(
    configured: readonly Settings[],
    removed: readonly RemovedSettings<Settings>[],
  ): void;
}

/** Creates empty settings. */
export function createRetainedSettings<
  Settings extends { readonly name: string },
>(): RetainedSettings<Settings> {
  let configured = new Map<string, Settings>();
  let removed = new Map<string, RemovedSettings<Settings>>();

  function restore(
    nextConfigured: readonly Settings[],
    nextRemoved: readonly RemovedSettings<Settings>[],
  ): void {
    configured = new Map(nextConfigured.map((entry) => [entry.name, entry]));
    removed = new Map(
      nextRemoved.map((entry) => [entry.settings.name, entry]),
    );
  }

  return {
    set(next, isUsed) {
      const names = new Set(next.map(({ name }) => name));
      const candidates = [
        ...removed.values(),
        ...[...configured.values()].map((settings) => ({
          settings,
          unusedChanges: 0,
        })),
      ].filter(({ settings }) => !names.has(settings.name));
      const retained = candidates.map(({ settings, unusedChanges }) => ({
        settings,
        unusedChanges: isUsed(settings.name) ? 0 : unusedChanges + 1,
      })).filter(({ unusedChanges }) => unusedChanges <= UNUSED_CHANGES);
      restore(next, retained);
    },
    find: (name) => configured.get(name) ?? removed.get(name)?.settings,
    findConfigured: (name) => configured.get(name),
    list: () => [
      ...configured.values(),
      ...[...removed.values()].map(({ settings }) => settings),
    ],
    listRemoved: () => [...removed.values()],
    restore,
  };
}
