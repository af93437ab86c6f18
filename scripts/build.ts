/** Builds dist/goldcrestwinch, a Node single executable application. */
import { execFileSync } from "node:child_process";
import {
  chmodSync,
  copyFileSync,
  mkdirSync,
  readFileSync,
  writeFileSync,
} from "node:fs";
import { build } from "esbuild";
import { inject } from "postject";
import { bundleOptions } from "./bundle_options.ts";

const fuse = "NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2";
const bundle = "dist/goldcrestwinch.cjs";
const blob = "dist/goldcrestwinch.blob";
const seaConfig = "dist/sea.json";
const executable = "dist/goldcrestwinch";

mkdirSync("dist", { recursive: true });
await build({
  ...bundleOptions,
  entryPoints: ["src/cli/main.ts"],
  outfile: bundle,
  banner: {
    js: "const importMetaUrl = require('node:url').pathToFileURL(__filename).href;",
  },
  define: {
    "import.meta.url": "importMetaUrl",
    // A native addon cannot be embedded, and Node prints a warning when msgpackr tries to load it.
    "process.env.MSGPACKR_NATIVE_ACCELERATION_DISABLED": '"true"',
  },
  external: ["msgpackr-extract"],
});
writeFileSync(
  seaConfig,
  JSON.stringify({
    main: bundle,
    output: blob,
    disableExperimentalSEAWarning: true,
  }),
);
execFileSync(process.execPath, ["--experimental-sea-config", seaConfig], {
  stdio: ["ignore", "ignore", "inherit"],
});
copyFileSync(process.execPath, executable);
chmodSync(executable, 0o755);
await inject(executable, "NODE_SEA_BLOB", readFileSync(blob), {
  sentinelFuse: fuse,
});
console.log(`built ${executable}`);
