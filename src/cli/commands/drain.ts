import { userInfo } from "node:os";
import { defineCommand } from "citty";
import { exitWithMessage, printLine } from "../exit.ts";
import { callAll, connectNodes, operatorArgs } from "../operator.ts";

/** `goldcrestwinch drain`: stops nodes after their requests in progress have finished. */
export const drainCommand = defineCommand({
  meta: {
    name: "drain",
    description: "Let nodes finish their work and exit; safe to repeat",
  },
  args: operatorArgs,
  async run({ args }) {
    const operator = userInfo().username;
    const replies = await callAll(connectNodes(args), (client) =>
      client.drain.mutate({ operator }),
    );
    if (args.json) printLine(JSON.stringify(replies));
    for (const reply of args.json ? [] : replies) {
      const text = "error" in reply ? reply.error : reply.value.phase;
      printLine(`${reply.address} ${text}`);
    }
    const failed = replies.filter((reply) => "error" in reply);
    if (failed.length > 0) {
      exitWithMessage(
        `${failed.length} of ${replies.length} nodes did not answer`,
      );
    }
  },
});
