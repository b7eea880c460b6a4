package logging

import "go.uber.org/zap"

// Err returns a log field with an error's message. It omits the stack trace, which would be most
// of the log's volume under load.
func Err(err error) zap.Field {
	if err == nil {
		return zap.Skip()
	}
	return zap.String("error", err.Error())
}
