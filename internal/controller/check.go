package controller

import (
	"errors"
	"fmt"

	"peppervale/internal/model"
)

// Errors returned by CheckConfig.
var (
	ErrNoZones                  = errors.New("no zones are configured")
	ErrPeriodOrQueueNotPositive = errors.New("the report period and the queue limit must be above 0")
)

// OperationCountError reports that a configuration has no operation, or more than model.MaxOperations.
type OperationCountError struct {
	Count int // configured operations
}

// Error implements error.
func (e *OperationCountError) Error() string {
	return fmt.Sprintf("%d operations are configured; 1 to %d are supported", e.Count, model.MaxOperations)
}

// CheckConfig returns an error if the balancer cannot run with a configuration: an *OperationCountError, ErrNoZones or
// ErrPeriodOrQueueNotPositive.
func CheckConfig(config model.Config) error {
	operations := len(config.Operations)
	switch {
	case operations == 0 || operations > model.MaxOperations:
		return &OperationCountError{Count: operations}
	case config.Zones == 0:
		return ErrNoZones
	case config.ReportPeriod <= 0 || config.QueueLimit <= 0:
		return ErrPeriodOrQueueNotPositive
	}
	return nil
}
