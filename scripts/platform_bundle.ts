import { dirname } from "node:path";
import { type BuildOptions, build, type Plugin } from "esbuild";
import { bundleOptions } from "./bundle_options.ts";

/** Bundle that the deploy file starts. */
export const platformBundle = "target/gateway.cjs";

/** Module that the started bundle loads once it handles signals, and the name of its bundle beside that one. */
const program = "platform/program.ts";
const programBundle = "program.cjs";

const options: BuildOptions = {
  ...bundleOptions,
  minify: true,
  keepNames: true,
};

/** Leaves the program out of the bundle, and names the file to load instead. */
const loadProgramLater: Plugin = {
  name: "load-program-later",
  setup({ onResolve }) {
    onResolve({ filter: /^\.\/program\.ts$/ }, () => ({
      path: `./${programBundle}`,
      external: true,
    }));
  },
};

/** Bundles the program that runs on the users' platform: the file to start, and beside it the one that it loads. */
export async function buildPlatformBundle(outfile: string): Promise<void> {
  await build({
    ...options,
    entryPoints: ["platform/main.ts"],
    outfile,
    plugins: [loadProgramLater, ...bundleOptions.plugins],
    // `require` loads a file of this format sooner than `import()`.
    supported: { "dynamic-import": false },
  });
  await build({
    ...options,
    entryPoints: [program],
    outfile: `${dirname(outfile)}/${programBundle}`,
  });
}
