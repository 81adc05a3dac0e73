/**
 * Failures of the platform's services. After `answerLost` a write may have
 * taken effect.
 */
export type StoreError =
  | { readonly kind: "unavailable"; readonly detail: string }
  | { readonly kind: "answerLost"; readonly detail: string }
  | { readonly kind: "badAnswer"; readonly detail: string };

/** Describes a store failure in one sentence. */
export function describeStoreError(error: StoreError): string {
  switch (error.kind) {
    case "unavailable":
      return `The platform's store is unavailable: ${error.detail}`;
    case "answerLost":
      return `The platform's answer was lost: ${error.detail}`;
    case "badAnswer":
      return `The platform's answer can't be read: ${error.detail}`;
  }
}
