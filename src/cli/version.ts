/** Version of the program, as in package.json. */
export const version = "0.1.0";
