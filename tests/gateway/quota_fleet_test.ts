import { describeFleet } from "./quota_loads.ts";

describeFleet(8, 12_000);
describeFleet(70, 12_000);
