/** Exit codes of the command line. */
export enum ExitCode {
	Done = 0,
	/** No control replica could be reached, or it answered with an error; or a strict check has warnings. */
	Failed = 1,
	/** A flag, file or declaration is invalid. */
	Usage = 2,
	/** The configuration was changed by someone else in the meantime. */
	Conflict = 3,
	/** Nothing is recorded of the request, or no log line mentions it. */
	NotFound = 4,
}
