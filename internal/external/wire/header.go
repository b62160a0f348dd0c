package wire

// IncarnationHeader is the response header of a stream that holds the incarnation of the target.
const IncarnationHeader = "Target-Incarnation"
