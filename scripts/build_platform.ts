import { buildPlatformBundle, platformBundle } from "./platform_bundle.ts";

await buildPlatformBundle(platformBundle);
