package logging

import "go.uber.org/zap"

// Err is a field for an error's message. The message alone keeps lines short;
// stack traces would be most of the log's volume under load.
func Err(err error) zap.Field {
	if err == nil {
		return zap.Skip()
	}
	return zap.String("error", err.Error())
}
