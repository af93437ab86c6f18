/**
 * Replacement of `node:assert` for the libraries in a bundle. Node describes a
 * failed assertion without a message by parsing the source at its place. In a
 * bundle of one long line that takes seconds, in which the process does nothing
 * else.
 */
import nodeAssert = require("node:assert");

const defaultMessage = "An assertion of a library failed";

/** Throws an error with a fixed message unless the value is truthy. */
function assert(
  value: unknown,
  message: string | Error = defaultMessage,
): asserts value {
  nodeAssert.ok(value, message);
}

// The libraries call the result of `require`.
export = Object.assign(assert, nodeAssert, { ok: assert });
