/** Version of the program; must match package.json. */
export const version = "0.1.0";
