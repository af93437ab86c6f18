import { describeFleet } from "./quota_loads.ts";

describeFleet(610, 4_000);
