import { resolve } from "node:path";
import type { BuildOptions, Plugin } from "esbuild";

/** Module that the libraries in a bundle get for `node:assert`. */
const replacement = resolve("src/adapters/bundle/assert.cts");

/** Replaces `node:assert`, except in the replacement itself. */
const replaceAssert: Plugin = {
  name: "replace-assert",
  setup({ onResolve }) {
    onResolve({ filter: /^(node:)?assert$/ }, ({ importer }) =>
      importer === replacement ? undefined : { path: replacement },
    );
  },
};

/** Options of all bundles that run as a process. */
export const bundleOptions = {
  bundle: true,
  platform: "node",
  target: "node20",
  format: "cjs",
  logLevel: "warning",
  plugins: [replaceAssert],
} satisfies BuildOptions;
