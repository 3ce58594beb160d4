/** Exit codes of the command line. */
export enum ExitCode {
	Done = 0,
	/** The system could not be reached, or answered with an error. */
	Failed = 1,
	/** Flags, files or declarations are not right. */
	Usage = 2,
	/** Another operator's change came first. */
	Conflict = 3,
	/** What was asked for does not exist. */
	NotFound = 4,
}
