package operator

import "strconv"

func formatVersion(version uint64) string { return strconv.FormatUint(version, 10) }
