import { type Cancel, type Clock, millis } from "../core/clock.ts";
import type { MachineList } from "../ports/machines.ts";

/** Time between two polls of the VM list, in ms. */
const watchIntervalMillis = 1_000;

/** Polls the platform's VM list and reports servers that are leaving. */
export class MachineWatch {
  #cancel: Cancel | undefined;
  #stopped = false;

  static create(options: {
    machines: MachineList;
    clock: Clock;
    onLeaving: (server: string) => void;
  }): MachineWatch {
    return new MachineWatch(options);
  }

  private constructor(options: {
    machines: MachineList;
    clock: Clock;
    onLeaving: (server: string) => void;
  }) {
    const poll = async (): Promise<void> => {
      const list = await options.machines.list();
      list.ifRight((machines) => {
        for (const machine of machines) {
          if (machine.state === "leaving") options.onLeaving(machine.name);
        }
      });
      if (this.#stopped) return;
      this.#cancel = options.clock.schedule(
        millis(watchIntervalMillis),
        () => void poll(),
      );
    };
    void poll();
  }

  stop(): void {
    this.#stopped = true;
    this.#cancel?.();
  }
}
