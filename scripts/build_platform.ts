/** Bundles the program that runs on the users' platform into target/gateway.cjs. */
import { mkdirSync } from "node:fs";
import { build } from "esbuild";

mkdirSync("target", { recursive: true });
await build({
  entryPoints: ["platform/main.ts"],
  bundle: true,
  minify: true,
  keepNames: true,
  platform: "node",
  target: "node20",
  format: "cjs",
  outfile: "target/gateway.cjs",
  logLevel: "warning",
});
