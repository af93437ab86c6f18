import { readFileSync } from "node:fs";
import { type Either, Left } from "purify-ts";
import { z } from "zod";
import type { Cancel, Clock } from "../../core/clock.ts";
import {
  createDirectory,
  type DirectoryFault,
  describeDirectoryFault,
  type KeyedOrganisation,
  type OrganisationDirectory,
} from "../../core/gateway/organisations.ts";
import { brandString } from "../../core/ids.ts";
import { isKeyDigest } from "./api_key.ts";
import { watchFile } from "./file_watch.ts";

/** Maximum length of the name of an organisation, in characters. */
const maxNameLength = 200;

const organisationSchema = z.strictObject({
  name: z
    .string()
    .max(maxNameLength)
    .regex(/^[\x21-\x7e]+$/, "must be printable characters without spaces"),
  keyDigests: z.array(
    z
      .string()
      .refine(
        isKeyDigest,
        "must be the SHA-256 digest of a key, as 64 lower-case hexadecimal digits",
      ),
  ),
});

const organisationFileSchema = z.strictObject({
  organisations: z
    .array(organisationSchema)
    .min(1, "must list at least one organisation"),
});

/** Options of {@link OrganisationFile.open}. */
export type OrganisationFileOptions = {
  readonly clock: Clock;
  /** Called after each attempt to reload, with the error if it failed. */
  readonly onReload: (error: string | undefined) => void;
};

/** Organisations whose callers a node serves, as its organisation file lists them now. */
export class OrganisationFile {
  readonly #path: string;
  readonly #onReload: OrganisationFileOptions["onReload"];
  readonly #cancelWatch: Cancel;
  #directory: OrganisationDirectory;

  private constructor(
    path: string,
    directory: OrganisationDirectory,
    { clock, onReload }: OrganisationFileOptions,
  ) {
    this.#path = path;
    this.#directory = directory;
    this.#onReload = onReload;
    const onChange = () => this.reload();
    this.#cancelWatch = watchFile(path, { clock, onChange });
  }

  /** Reads a file, and reads it again whenever it changes. */
  static open(
    path: string,
    options: OrganisationFileOptions,
  ): Either<string, OrganisationFile> {
    return readOrganisationFile(path).map(
      (directory) => new OrganisationFile(path, directory, options),
    );
  }

  get directory(): OrganisationDirectory {
    return this.#directory;
  }

  /** Reads the file again; keeps what was read before if it is invalid. */
  reload(): void {
    readOrganisationFile(this.#path).caseOf<void>({
      Left: (error) => this.#onReload(error),
      Right: (directory) => {
        this.#directory = directory;
        this.#onReload(undefined);
      },
    });
  }

  /** Stops following the file. */
  close(): void {
    this.#cancelWatch();
  }
}

/** Reads and validates an organisation file; the error names the entry and a remedy. */
export function readOrganisationFile(
  path: string,
): Either<string, OrganisationDirectory> {
  let content: unknown;
  try {
    content = JSON.parse(readFileSync(path, "utf8"));
  } catch {
    return Left(
      `Cannot read organisation file "${path}" as JSON; expected {"organisations": [{"name": …, "keyDigests": […]}]}`,
    );
  }
  return parseOrganisations(content).mapLeft(
    (fault) => `Cannot use organisation file "${path}": ${fault}`,
  );
}

function parseOrganisations(
  content: unknown,
): Either<string, OrganisationDirectory> {
  const parsed = organisationFileSchema.safeParse(content);
  if (!parsed.success) {
    const [issue] = parsed.error.issues;
    const field = issue?.path.join(".") || "(top level)";
    return Left(`${field}: ${issue?.message}; correct the value`);
  }
  const entries = parsed.data.organisations.map(decodeOrganisation);
  return createDirectory(entries).mapLeft(
    (fault) => `${nameField(fault)}: ${describeDirectoryFault(fault)}`,
  );
}

function decodeOrganisation({
  name,
  keyDigests,
}: z.infer<typeof organisationSchema>): KeyedOrganisation {
  return {
    organisation: {
      name: brandString(name),
      priority: undefined,
      quota: undefined,
    },
    keys: keyDigests.map((digest) => brandString(digest)),
  };
}

function nameField(fault: DirectoryFault): string {
  const entry = `organisations.${fault.position}`;
  return fault.kind === "repeated-name"
    ? `${entry}.name`
    : `${entry}.keyDigests.${fault.keyPosition}`;
}
