package platform

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"
	"github.com/google/uuid"
)

// serviceTable is the name of the table service in errors and its key in a Meter.
const serviceTable = "table service"

// Attributes of a row.
const (
	attributePartition = "partition"
	attributeSort      = "sort"
	attributeRevision  = "revision"
	attributeValue     = "value"
	attributeChangeID  = "change-id"
)

// conditionFailed is the reason code of the table service for a transaction that it
// cancelled because a condition was false.
const conditionFailed = "ConditionalCheckFailed"

// tokenNamespace is the UUID namespace of the request tokens derived from change ids.
var tokenNamespace = uuid.MustParse("5c8f9b1e-30f4-4c6e-9d6c-0d4a2f3b7a11")

// A Row is one row of the table. Rows are changed only by conditional writes, so each
// revision is written once and the revisions of a key only increase.
type Row struct {
	// Key identifies the row. The part before the first "/" is the name of a group of
	// rows that can be listed together.
	Key string
	// Revision is the revision number. It is at least 1 and increases with each write
	// of the key.
	Revision uint64
	// Value is the content, which is opaque to the table service.
	Value []byte
	// ChangeID identifies the last write of the row. It is unique to one intended
	// change and the same in all attempts of that change.
	ChangeID string
}

// A Table is a client of the table service. It is safe for concurrent use.
type Table struct {
	client *dynamodb.Client
	name   string
}

// NewTable returns a client of the table service at an endpoint. The first operation
// opens the connection.
func NewTable(e Endpoint, opts ...Option) *Table {
	o := newOptions(opts)
	client := dynamodb.New(dynamodb.Options{
		BaseEndpoint: aws.String(e.TableURL),
		Region:       e.Region,
		Credentials:  e.credentials(),
		HTTPClient:   o.client(serviceTable),
		Retryer:      o.retryer(),
	})
	return &Table{client: client, name: e.TableName}
}

// Read returns a row with strong consistency: it reflects all writes that completed
// before the call. The error is ErrNotFound if there is no such row.
func (t *Table) Read(ctx context.Context, key string) (Row, error) {
	keyAttributes, err := rowKey(key)
	if err != nil {
		return Row{}, err
	}
	output, err := t.client.GetItem(ctx, &dynamodb.GetItemInput{
		TableName:      &t.name,
		Key:            keyAttributes,
		ConsistentRead: aws.Bool(true),
	})
	if err != nil {
		return Row{}, fmt.Errorf("read row %q: %w: %w", key, ErrUnavailable, err)
	}
	if len(output.Item) == 0 {
		return Row{}, fmt.Errorf("read row %q: %w", key, ErrNotFound)
	}
	return decodeRow(output.Item)
}

// List returns all rows whose keys start with a prefix, sorted by key. The prefix must
// contain a "/", which ends the group name.
func (t *Table) List(ctx context.Context, prefix string) ([]Row, error) {
	group, start, ok := strings.Cut(prefix, "/")
	if !ok {
		return nil, fmt.Errorf("list rows: prefix %q has no slash", prefix)
	}
	input := &dynamodb.QueryInput{
		TableName:                 &t.name,
		ConsistentRead:            aws.Bool(true),
		KeyConditionExpression:    aws.String("#partition = :partition"),
		ExpressionAttributeNames:  map[string]string{"#partition": attributePartition},
		ExpressionAttributeValues: map[string]types.AttributeValue{":partition": stringAttribute(group)},
	}
	if start != "" {
		input.KeyConditionExpression = aws.String("#partition = :partition AND begins_with(#sort, :prefix)")
		input.ExpressionAttributeNames["#sort"] = attributeSort
		input.ExpressionAttributeValues[":prefix"] = stringAttribute(start)
	}
	var rows []Row
	for pages := dynamodb.NewQueryPaginator(t.client, input); pages.HasMorePages(); {
		page, err := pages.NextPage(ctx)
		if err != nil {
			return nil, fmt.Errorf("list rows %q: %w: %w", prefix, ErrUnavailable, err)
		}
		for _, item := range page.Items {
			row, err := decodeRow(item)
			if err != nil {
				return nil, fmt.Errorf("list rows %q: %w", prefix, err)
			}
			rows = append(rows, row)
		}
	}
	return rows, nil
}

// Write replaces a row that is at the expected revision; 0 means that the row must not
// exist. The revision of the new row must be higher; 0 selects the next revision. The
// error is ErrConflict if the row is at another revision; this change then has no effect,
// now or later. If the response is lost, Write sends the same transaction again and then
// looks for the change id in the row. If that also fails, the error is
// ErrOutcomeUnknown.
func (t *Table) Write(ctx context.Context, next Row, expectedRevision uint64) error {
	if next.Revision == 0 {
		next.Revision = expectedRevision + 1
	}
	if next.Revision <= expectedRevision || next.ChangeID == "" {
		return fmt.Errorf("write row %q: invalid revision %d after %d or change id %q",
			next.Key, next.Revision, expectedRevision, next.ChangeID)
	}
	item, err := encodeRow(next)
	if err != nil {
		return err
	}
	condition, names, values := revisionCondition(expectedRevision)
	err = t.transact(ctx, next.ChangeID, types.TransactWriteItem{Put: &types.Put{
		TableName:                           &t.name,
		Item:                                item,
		ConditionExpression:                 &condition,
		ExpressionAttributeNames:            names,
		ExpressionAttributeValues:           values,
		ReturnValuesOnConditionCheckFailure: types.ReturnValuesOnConditionCheckFailureAllOld,
	}})
	if err == nil {
		return nil
	}
	return t.resolveOutcome(ctx, next, expectedRevision, err)
}

// Delete removes a row that is at the expected revision. The change id identifies the
// removal. The errors are those of Write, except that Delete doesn't read the row to
// find the outcome: if the responses to all attempts are lost, the error is
// ErrOutcomeUnknown. A deleted key must not be reused, because its revisions would start
// again from 1.
func (t *Table) Delete(ctx context.Context, key string, expectedRevision uint64, changeID string) error {
	keyAttributes, err := rowKey(key)
	if err != nil {
		return err
	}
	condition, names, values := revisionCondition(expectedRevision)
	err = t.transact(ctx, changeID, types.TransactWriteItem{Delete: &types.Delete{
		TableName:                 &t.name,
		Key:                       keyAttributes,
		ConditionExpression:       &condition,
		ExpressionAttributeNames:  names,
		ExpressionAttributeValues: values,
	}})
	var cancelled *types.TransactionCanceledException
	switch {
	case err == nil:
		return nil
	case errors.As(err, &cancelled) && failedCondition(cancelled) != nil:
		return fmt.Errorf("delete row %q: %w", key, ErrConflict)
	default:
		return fmt.Errorf("delete row %q: %w: %w", key, ErrOutcomeUnknown, err)
	}
}

// transact sends one conditional write. All attempts have the same request token, so the
// table service returns success again for a repeated write that has already taken effect,
// even if the row has changed since.
func (t *Table) transact(ctx context.Context, changeID string, item types.TransactWriteItem) error {
	token := uuid.NewSHA1(tokenNamespace, []byte(changeID)).String()
	_, err := t.client.TransactWriteItems(ctx, &dynamodb.TransactWriteItemsInput{
		ClientRequestToken: &token,
		TransactItems:      []types.TransactWriteItem{item},
	})
	if err != nil {
		return fmt.Errorf("send transaction: %w", err)
	}
	return nil
}

// resolveOutcome determines the outcome of a write that did not return success.
func (t *Table) resolveOutcome(ctx context.Context, next Row, expectedRevision uint64, cause error) error {
	var cancelled *types.TransactionCanceledException
	if errors.As(cause, &cancelled) {
		if reason := failedCondition(cancelled); reason != nil {
			if current, err := decodeRow(reason.Item); err == nil && current.ChangeID == next.ChangeID {
				return nil
			}
			return fmt.Errorf("write row %q: %w", next.Key, ErrConflict)
		}
	}
	current, err := t.Read(ctx, next.Key)
	switch {
	case err == nil && current.ChangeID == next.ChangeID:
		return nil
	case err == nil && current.Revision > expectedRevision && current.Revision <= next.Revision:
		// Revisions only increase, so this write has not taken effect and no longer can.
		return fmt.Errorf("write row %q: %w", next.Key, ErrConflict)
	default:
		return fmt.Errorf("write row %q: %w: %w", next.Key, ErrOutcomeUnknown, cause)
	}
}

// isTransientCancellation reports whether a transaction was cancelled without effect for
// a transient reason: a concurrent transaction on the same row, or throttling.
func isTransientCancellation(err error) aws.Ternary {
	var cancelled *types.TransactionCanceledException
	if !errors.As(err, &cancelled) || failedCondition(cancelled) != nil {
		return aws.UnknownTernary
	}
	for _, reason := range cancelled.CancellationReasons {
		switch aws.ToString(reason.Code) {
		case "TransactionConflict", "ThrottlingError", "ProvisionedThroughputExceeded":
			return aws.TrueTernary
		}
	}
	return aws.UnknownTernary
}

// failedCondition returns the cancellation reason for a false condition, or nil.
func failedCondition(e *types.TransactionCanceledException) *types.CancellationReason {
	for i := range e.CancellationReasons {
		if aws.ToString(e.CancellationReasons[i].Code) == conditionFailed {
			return &e.CancellationReasons[i]
		}
	}
	return nil
}

// revisionCondition returns the condition that a row is at a revision, with its attribute
// names and values. Revision 0 means that the row does not exist.
func revisionCondition(revision uint64) (string, map[string]string, map[string]types.AttributeValue) {
	if revision == 0 {
		return "attribute_not_exists(#partition)", map[string]string{"#partition": attributePartition}, nil
	}
	return "#revision = :expected",
		map[string]string{"#revision": attributeRevision},
		map[string]types.AttributeValue{":expected": numberAttribute(revision)}
}

func rowKey(key string) (map[string]types.AttributeValue, error) {
	group, rest, ok := strings.Cut(key, "/")
	if !ok || group == "" || rest == "" {
		return nil, fmt.Errorf("row key %q is not of the form group/name", key)
	}
	return map[string]types.AttributeValue{attributePartition: stringAttribute(group), attributeSort: stringAttribute(rest)}, nil
}

func encodeRow(r Row) (map[string]types.AttributeValue, error) {
	item, err := rowKey(r.Key)
	if err != nil {
		return nil, err
	}
	item[attributeRevision] = numberAttribute(r.Revision)
	item[attributeValue] = &types.AttributeValueMemberB{Value: r.Value}
	item[attributeChangeID] = stringAttribute(r.ChangeID)
	return item, nil
}

func decodeRow(item map[string]types.AttributeValue) (Row, error) {
	partition, ok1 := item[attributePartition].(*types.AttributeValueMemberS)
	name, ok2 := item[attributeSort].(*types.AttributeValueMemberS)
	revision, ok3 := item[attributeRevision].(*types.AttributeValueMemberN)
	value, ok4 := item[attributeValue].(*types.AttributeValueMemberB)
	changeID, ok5 := item[attributeChangeID].(*types.AttributeValueMemberS)
	if !ok1 || !ok2 || !ok3 || !ok4 || !ok5 {
		return Row{}, fmt.Errorf("row has a missing attribute or one of the wrong type")
	}
	number, err := strconv.ParseUint(revision.Value, 10, 64)
	if err != nil {
		return Row{}, fmt.Errorf("parse row revision: %w", err)
	}
	return Row{
		Key:      partition.Value + "/" + name.Value,
		Revision: number,
		Value:    value.Value,
		ChangeID: changeID.Value,
	}, nil
}

func stringAttribute(s string) types.AttributeValue { return &types.AttributeValueMemberS{Value: s} }

func numberAttribute(n uint64) types.AttributeValue {
	return &types.AttributeValueMemberN{Value: strconv.FormatUint(n, 10)}
}
