import { statSync } from "node:fs";
import { type Cancel, type Clock, millis } from "../../core/clock.ts";

/** Interval between checks of a file for changes, in ms. */
const checkInterval = millis(2_000);

/** What follows a file. */
export type FileWatchOptions = {
  readonly clock: Clock;
  /** Called when the file has another modification time than before. */
  readonly onChange: () => void;
};

/** Follows the changes of a file until the returned function is called; throws if there is none. */
export function watchFile(path: string, options: FileWatchOptions): Cancel {
  const { clock, onChange } = options;
  let modifiedAt = statSync(path).mtimeMs;
  const check = () => {
    cancel = clock.schedule(checkInterval, check);
    const current = statSync(path, { throwIfNoEntry: false })?.mtimeMs;
    if (current === undefined || current === modifiedAt) return;
    modifiedAt = current;
    onChange();
  };
  let cancel = clock.schedule(checkInterval, check);
  return () => cancel();
}
