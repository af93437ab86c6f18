import { describeFleet } from "./quota_loads.ts";

describeFleet(300, 6_000);
